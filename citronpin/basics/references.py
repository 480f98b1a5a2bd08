"""The settings reference, made from the defaults."""

from citronpin.basics.settings import DEFAULTS, Setting

TITLE = """# Settings

Made from the defaults in `citronpin/settings.py` by `make settings-page`. Settings
are INI files; every file is checked whole before anything opens a socket, and
`citronpin check FILE.ini` does the same without starting.
"""


def settings_page() -> str:
    """Return the reference of all sections as Markdown."""
    parts = [TITLE]
    for section, settings in DEFAULTS.items():
        parts.append(f"## [{section}]\n")
        parts.append("| key | default | value | meaning |")
        parts.append("|---|---|---|---|")
        parts += [_row(key, setting) for key, setting in settings.items()]
        parts.append("")
    return "\n".join(parts)


def _row(key: str, setting: Setting) -> str:
    default = "required" if setting.default is None else f"`{setting.default}`"
    if setting.default == "":
        default = "empty"
    return f"| `{key}` | {default} | {_value(setting)} | {setting.doc} |"


def _value(setting: Setting) -> str:
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
