Feature: Failures and the guarantees that hold during them

  Background:
    Given a system of three entries with both manifests in force
    And callers who send chats and swaps

  Scenario: A member dies
    When a member of a rota group dies
    Then no entry dispatches to its previous group
    And 2 rota groups serve again
    And every caller got the correct answer or outcome

  Scenario: A member pauses and resumes
    When a member of a rota group pauses for 4 seconds
    Then no entry dispatches to its previous group
    And 2 rota groups serve again
    And every caller got the correct answer or outcome

  Scenario: A member restarts without its state
    When a member of a rota group restarts
    Then no entry dispatches to its previous group
    And 2 rota groups serve again
    And every caller got the correct answer or outcome

  Scenario: A member becomes a straggler
    When a member of a rota group slows down
    Then every caller got the correct answer or outcome

  Scenario: A whole fabric domain becomes unreachable
    When the fabric domain fabric-h becomes unreachable
    Then no entry dispatches to a group of fabric-h
    And every caller got the correct answer or outcome

  Scenario: An entry is partitioned from the log and the other entries
    When an entry is partitioned
    Then that entry stops serving
    When a change is published
    Then the change is in force on the other entries
    When the partition is healed
    Then the change is in force on every entry
    And every caller got the correct answer or outcome

  Scenario: The log is down while a member dies
    When the log goes down
    And a member of a rota group dies
    Then no entry dispatches to its previous group
    When the log recovers after 3 seconds
    Then 2 rota groups serve again
    And every caller got the correct answer or outcome

  Scenario: The log loses the answers of appends that took effect
    When the log loses its answers for 3 seconds
    Then every caller got the correct answer or outcome

  Scenario: The holder of a lease is paused and acts on it after it resumes
    When the holder of fabric-s is paused for 8 seconds
    Then another entry holds the lease of fabric-s
    And 2 rota groups serve again
    And every caller got the correct answer or outcome

  Scenario: Two operators publish changes from the same base
    When two changes are published from the same base
    Then one is accepted and the other is rejected with a reason
    And the change is in force on every entry
    And every caller got the correct answer or outcome

  Scenario: Every entry is replaced under load
    When every entry is replaced one after another
    Then every request was completed
    And every caller got the correct answer or outcome
