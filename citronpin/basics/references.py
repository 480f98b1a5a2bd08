"""Generates the settings reference from the defaults."""

from citronpin.basics.settings import DEFAULTS, Setting

INTRODUCTION = """# Settings

Generated from the defaults in `citronpin/basics/settings.py` by `make settings-page`.
Settings are INI files; each file is checked completely before any socket is opened, and
`citronpin check FILE.ini` runs the same checks without starting anything.
"""


def settings_page() -> str:
    """Return the reference of all sections as Markdown."""
    lines = [INTRODUCTION]
    for section, settings in DEFAULTS.items():
        lines.append(f"## [{section}]\n")
        lines.append("| key | default | value | meaning |")
        lines.append("|---|---|---|---|")
        lines += [_table_row(key, setting) for key, setting in settings.items()]
        lines.append("")
    return "\n".join(lines)


def _table_row(key: str, setting: Setting) -> str:
    default = "required" if setting.default is None else f"`{setting.default}`"
    if setting.default == "":
        default = "empty"
    return f"| `{key}` | {default} | {_allowed_values(setting)} | {setting.doc} |"


def _allowed_values(setting: Setting) -> str:
    if setting.choices:
        return ", ".join(f"`{choice}`" for choice in setting.choices)
    limits = []
    if setting.minimum is not None:
        limits.append(f"from {setting.minimum:g}")
    if setting.maximum is not None:
        limits.append(f"to {setting.maximum:g}")
    return " ".join([setting.kind.value, *limits])


if __name__ == "__main__":
    print(settings_page(), end="")
