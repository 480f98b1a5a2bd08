Feature: What fails, and what holds all the same

  Background:
    Given a system of three entries with both manifests in force
    And callers who send chats and swaps

  Scenario: A member dies
    When a member of a rota group dies
    Then its group gets nothing more
    And 2 rota groups serve again
    And every caller was told the truth

  Scenario: A member pauses and comes back
    When a member of a rota group pauses for 4 seconds
    Then its group gets nothing more
    And 2 rota groups serve again
    And every caller was told the truth

  Scenario: A member comes back as if nothing happened
    When a member of a rota group restarts
    Then its group gets nothing more
    And 2 rota groups serve again
    And every caller was told the truth

  Scenario: A member becomes a straggler
    When a member of a rota group straggles
    Then every caller was told the truth

  Scenario: A whole fabric domain goes dark
    When the fabric domain fabric-h goes dark
    Then no group of fabric-h gets anything
    And every caller was told the truth

  Scenario: An entry is separated from the log and the other entries
    When an entry is cut off
    Then that entry stops serving
    When a change is published
    Then the other entries have it in force
    When the cut is mended
    Then every entry has it in force
    And every caller was told the truth

  Scenario: The log is down while a member dies
    When the log goes down
    And a member of a rota group dies
    Then its group gets nothing more
    When the log comes back after 3 seconds
    Then 2 rota groups serve again
    And every caller was told the truth

  Scenario: The log loses answers after they took effect
    When the log loses its answers for 3 seconds
    Then every caller was told the truth

  Scenario: The holder of a lease is paused and acts on it afterwards
    When the holder of fabric-s is paused for 8 seconds
    Then another entry holds the lease of fabric-s
    And 2 rota groups serve again
    And every caller was told the truth

  Scenario: Two operators publish changes at the same moment
    When two changes are made from the same base
    Then one is accepted and the other is rejected with a reason
    And every entry has it in force
    And every caller was told the truth

  Scenario: Every entry is replaced under load
    When every entry is replaced one after another
    Then no request was cut off
    And every caller was told the truth
