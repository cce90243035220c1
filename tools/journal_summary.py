#!/usr/bin/env python3
"""Summarizes the bench's journal: one row for each score and hunt, or one for each day, as a Markdown table.

Usage: tools/journal_summary.py [--days] [--site NAME] [--plot FILE.svg] [journal folder]
"""
import argparse
import json
import pathlib


def load(folder):
    for path in sorted(pathlib.Path(folder).glob("*.json")):
        with open(path) as file:
            yield json.load(file)


def value(number):
    return "-" if number is None else f"{number:.3f}"


def worth(days):
    standard = [day["G"] for day in days if day.get("slot") and day.get("G") is not None]
    return sum(standard) / len(standard) if standard else None


def run_rows(entries):
    yield ["time", "command", "site", "score", "mean worth", "days", "rules broken", "short of the gate", "why"]
    for entry in entries:
        days = entry.get("days") or []
        if entry["cmd"] not in ("score", "hunt") or not days:
            continue
        broken = sorted({rule for day in days for rule in (day.get("rules") or {})})
        short = sum(1 for day in days if day.get("short"))
        yield [entry["at"][0] if isinstance(entry["at"], list) else entry["at"], entry["cmd"], entry["site"],
               value(entry.get("score")), value(worth(days)), str(len(days)), " ".join(broken) or "none", str(short),
               entry.get("why") or ""]


def day_rows(entries):
    yield ["site", "day", "worth", "score", "served", "refused", "failed", "most priced"]
    newest = {}
    for entry in entries:
        if entry["cmd"] == "score":
            for day in entry.get("days") or []:
                newest[entry["site"], day["name"]] = day
    for (site, name), day in sorted(newest.items(), key=lambda item: item[1].get("G") or 0):
        prices = sorted(day.get("prices") or [], key=lambda price: -abs(price[-1] or 0))
        yield [site, name, value(day.get("G")), value(day.get("score")), value(day.get("served")),
               value(day.get("refused")), value(day.get("failed")), str(prices[0][0]) if prices else "-"]


def print_table(rows):
    for index, row in enumerate(rows):
        print("| " + " | ".join(str(cell) for cell in row) + " |")
        if index == 0:
            print("|" + "---|" * len(row))


def plot(entries, path):
    """Mean worth of the standard days over the runs, a line for each site."""
    lines = {}
    for entry in entries:
        mean = worth(entry.get("days") or [])
        if entry["cmd"] == "score" and mean is not None:
            lines.setdefault(entry["site"], []).append(mean)
    width, height, margin = 640, 320, 40
    colours = ["#1b6ca8", "#c1440e", "#2e7d32", "#6a1b9a"]
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" font-family="sans-serif" font-size="12">',
             f'<rect width="{width}" height="{height}" fill="white"/>']
    lowest = min([0.0] + [mean for line in lines.values() for mean in line])

    def y(mean):
        return height - margin - (mean - lowest) / (1 - lowest) * (height - 2 * margin)

    for mark in (0, 0.25, 0.5, 0.75, 1):
        parts.append(f'<line x1="{margin}" x2="{width - margin}" y1="{y(mark):.0f}" y2="{y(mark):.0f}" stroke="#ddd"/>'
                     f'<text x="4" y="{y(mark) + 4:.0f}">{mark}</text>')
    for index, (site, line) in enumerate(sorted(lines.items())):
        step = (width - 2 * margin) / max(1, len(line) - 1)
        points = " ".join(f"{margin + step * i:.0f},{y(mean):.0f}" for i, mean in enumerate(line))
        colour = colours[index % len(colours)]
        parts.append(f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="2"/>')
        parts.append(f'<text x="{margin + 160 * index}" y="{height - 10}" fill="{colour}">{site}</text>')
    parts.append("</svg>")
    pathlib.Path(path).write_text("\n".join(parts) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", nargs="?", default="journal")
    parser.add_argument("--days", action="store_true", help="the newest scored play of each day, weakest first")
    parser.add_argument("--site")
    parser.add_argument("--plot", metavar="FILE.svg")
    options = parser.parse_args()
    entries = [entry for entry in load(options.folder) if not options.site or entry.get("site") == options.site]
    print_table(day_rows(entries) if options.days else run_rows(entries))
    if options.plot:
        plot(entries, options.plot)


if __name__ == "__main__":
    main()
