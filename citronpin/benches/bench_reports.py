"""HTML page of benchmark results, which needs no network to be displayed."""

import jinja2
import pygal
from pygal.style import CleanStyle

from citronpin.benches.benches import Bound, Figure, Results, broken_bounds

PLOT_WIDTH = 900
PLOT_HEIGHT = 380

PAGE_TEMPLATE = jinja2.Template(
    """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>citronpin benchmarks</title>
<style>
body { font: 15px sans-serif; max-width: 60em; margin: 2em auto; }
td, th { padding: 0.1em 0.8em; text-align: right; }
td:first-child { text-align: left; }
.broken { color: #a00; }
</style></head><body>
<h1>citronpin benchmarks</h1>
{% for part in parts %}
<h2>{{ part.results.bench }}</h2>
<p>Seed {{ part.results.seed }}{{ ", quick" if part.results.quick }}.
{% if not part.broken %}All bounds are kept.{% endif %}</p>
{% for line in part.broken %}<p class="broken">{{ line }}</p>{% endfor %}
{% for plot in part.plots %}{{ plot }}{% endfor %}
<details><summary>Figures</summary><table>
<tr><th>figure</th><th>value</th><th>95 % &plusmn;</th><th>unit</th></tr>
{% for figure in part.results.figures %}
<tr><td>{{ figure.key }}</td><td>{{ "%.4g" % figure.value }}</td>
<td>{{ "%.2g" % figure.spread if figure.spread is not none }}</td>
<td>{{ figure.unit }}</td></tr>
{% endfor %}</table></details>
{% endfor %}
</body></html>
""",
    autoescape=jinja2.select_autoescape(default=True),
)


def render_page(results: list[Results], bounds: tuple[Bound, ...]) -> str:
    """Return one HTML page with the plots and figures of several benchmarks."""
    parts = [
        {
            "results": one,
            "broken": broken_bounds(one, bounds),
            "plots": [
                jinja2.utils.markupsafe.Markup(svg)
                for svg in _render_plots(one.figures)
            ],
        }
        for one in results
    ]
    return PAGE_TEMPLATE.render(parts=parts)


def _render_plots(figures: list[Figure]) -> list[str]:
    names = dict.fromkeys(figure.name for figure in figures if figure.at)
    return [
        _render_plot(
            [figure for figure in figures if figure.name == name and figure.at]
        )
        for name in names
    ]


def _render_plot(figures: list[Figure]) -> str:
    labels = list(dict.fromkeys(figure.at for figure in figures))
    chart = pygal.Line(
        js=[],
        style=CleanStyle,
        width=PLOT_WIDTH,
        height=PLOT_HEIGHT,
        explicit_size=True,
        title=f"{figures[0].name} ({figures[0].unit})",
        x_title="",
    )
    chart.x_labels = labels
    for series in dict.fromkeys(figure.series for figure in figures):
        values = {
            figure.at: figure.value for figure in figures if figure.series == series
        }
        chart.add(series, [values.get(label) for label in labels])
    return chart.render(is_unicode=True, disable_xml_declaration=True)
