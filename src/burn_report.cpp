#include <plumsill/burn.h>

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace plumsill
{
namespace json = boost::json;

namespace
{
constexpr std::array ShownWindows {BurnWindow::FiveMinutes, BurnWindow::Hour, BurnWindow::SixHours, BurnWindow::ThreeDays};
constexpr int NameColumnWidth = 18;
constexpr int CountColumnWidth = 10;
constexpr int ShareColumnWidth = 9;
constexpr int BurnColumnWidth = 8;
constexpr double PlotWidth = 560; // pixels
constexpr double PlotHeight = 120; // pixels
constexpr double MinPlottedBurn = 2; // the scale of a plot reaches at least this burn rate, so that low burn rates look low

std::string number(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::string percent(double share, int digits)
{
    return number(share * 100, digits) + "%";
}

std::string teamLabel(const BurnRow &row)
{
    if (!row.team) {
        return "(all)";
    }
    return row.team->empty() ? "(open)" : row.team->value;
}

std::string alertLabel(const BurnRow &row)
{
    std::string label;
    for (const auto &alert : row.alerts) {
        label += (label.empty() ? "" : "; ") + toString(alert);
    }
    return label.empty() ? "-" : label;
}

std::string coveredLabel(const BurnReport &report)
{
    const auto minutes = seconds(report.covered) / 60;
    return minutes < 120 ? number(minutes, 1) + " min" : number(minutes / 60, 1) + " h";
}

std::string escaped(const std::string &text)
{
    std::string result;
    for (const char letter : text) {
        switch (letter) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += letter;
        }
    }
    return result;
}

json::object rowJson(const BurnRow &row)
{
    json::object windows;
    for (const auto window : {BurnWindow::FiveMinutes, BurnWindow::HalfHour, BurnWindow::Hour, BurnWindow::SixHours, BurnWindow::ThreeDays}) {
        const auto &burn = row.window(window);
        windows[nameOf(window)] = json::object {{"good", burn.counts.good}, {"bad", burn.counts.bad}, {"burn", burn.burn}};
    }
    json::array alerts;
    for (const auto &alert : row.alerts) {
        alerts.push_back(json::string(toString(alert)));
    }
    json::object result {{"service", row.service.value}, {"objective", row.objective}, {"budget_left", row.budgetLeft}};
    result["team"] = row.team ? json::value(row.team->value) : json::value(nullptr);
    result["windows"] = std::move(windows);
    result["alerts"] = std::move(alerts);
    return result;
}

void writeCells(std::ostream &out, const char *tag, const std::vector<std::string> &cells)
{
    out << "<tr>";
    for (const auto &cell : cells) {
        out << "<" << tag << ">" << escaped(cell) << "</" << tag << ">";
    }
    out << "</tr>\n";
}

std::vector<std::string> headings()
{
    std::vector<std::string> cells {"service", "team", "target", "good", "bad", "budget left"};
    for (const auto window : ShownWindows) {
        cells.push_back(std::string("burn ") + nameOf(window));
    }
    cells.emplace_back("alert");
    return cells;
}

std::vector<std::string> rowCells(const BurnRow &row)
{
    const auto &total = row.window(BurnWindow::ThreeDays).counts;
    std::vector<std::string> cells {
        row.service.value, teamLabel(row), percent(row.objective, 3), std::to_string(total.good), std::to_string(total.bad), percent(row.budgetLeft, 1),
    };
    for (const auto window : ShownWindows) {
        cells.push_back(number(row.window(window).burn, 2));
    }
    cells.push_back(alertLabel(row));
    return cells;
}

int columnWidth(std::size_t column)
{
    constexpr std::array Widths {NameColumnWidth, NameColumnWidth, ShareColumnWidth, CountColumnWidth, CountColumnWidth, ShareColumnWidth + 3};
    return column < Widths.size() ? Widths[column] : BurnColumnWidth + 2;
}

void writeLine(std::ostream &out, const std::vector<std::string> &cells)
{
    for (std::size_t column = 0; column + 1 < cells.size(); ++column) {
        out << (column < 2 ? std::left : std::right) << std::setw(columnWidth(column)) << cells[column] << " ";
    }
    out << " " << cells.back() << "\n";
}

double highestBurn(const BurnPlot &plot)
{
    double highest = MinPlottedBurn;
    for (const auto &point : plot.points) {
        highest = std::max(highest, point.burn);
    }
    return highest;
}

// The newest point is at the right edge. The dashed line marks a burn rate of 1, which uses up the budget exactly.
void writePlot(std::ostream &out, const BurnPlot &plot)
{
    const double highest = highestBurn(plot);
    const auto height = [highest](double burn) { return number(PlotHeight - burn / highest * PlotHeight, 1); };
    out << "<figure><figcaption>" << escaped(plot.service.value) << ", last " << (plot.range > std::chrono::hours(1) ? "3 d" : "1 h") << ", highest "
        << number(highest, 1) << "x</figcaption>\n<svg viewBox=\"0 0 " << PlotWidth << " " << PlotHeight << "\" width=\"" << PlotWidth << "\" height=\""
        << PlotHeight << "\" role=\"img\">\n<polyline fill=\"none\" stroke=\"#b02a2a\" stroke-width=\"2\" points=\"";
    for (const auto &point : plot.points) {
        out << number(PlotWidth * (1 - seconds(point.age) / seconds(plot.range)), 1) << "," << height(point.burn) << " ";
    }
    out << "\"/>\n<line x1=\"0\" x2=\"" << PlotWidth << "\" y1=\"" << height(1) << "\" y2=\"" << height(1)
        << "\" stroke=\"#666\" stroke-dasharray=\"4 4\"/>\n</svg></figure>\n";
}

constexpr const char *Style = "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
                              "td,th{padding:.3em .7em;border-bottom:1px solid #ccc;text-align:right}"
                              "td:first-child,td:nth-child(2),td:last-child,th:last-child{text-align:left}"
                              "svg{background:#f6f6f6}figure{display:inline-block;margin:1em 1em 0 0}";
}

const char *nameOf(BurnWindow window)
{
    switch (window) {
    case BurnWindow::FiveMinutes:
        return "5m";
    case BurnWindow::HalfHour:
        return "30m";
    case BurnWindow::Hour:
        return "1h";
    case BurnWindow::SixHours:
        return "6h";
    case BurnWindow::ThreeDays:
        return "3d";
    }
    return "?";
}

std::string toString(const BurnCondition &condition)
{
    std::ostringstream out;
    out << (condition.severity == BurnSeverity::Page ? "page" : "ticket") << ": " << condition.factor << "x over " << nameOf(condition.longWindow) << " and "
        << nameOf(condition.shortWindow);
    return out.str();
}

std::string reportText(const BurnReport &report)
{
    std::ostringstream out;
    writeLine(out, headings());
    for (const auto &row : report.rows) {
        writeLine(out, rowCells(row));
    }
    out << "history covers " << coveredLabel(report) << "\n";
    return out.str();
}

std::string reportJson(const BurnReport &report)
{
    json::array rows;
    for (const auto &row : report.rows) {
        rows.push_back(rowJson(row));
    }
    return json::serialize(json::object {{"covered_s", seconds(report.covered)}, {"rows", std::move(rows)}}) + "\n";
}

std::string reportHtml(const BurnReport &report)
{
    std::ostringstream out;
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title><style>" << Style
        << "</style></head><body>\n<h1>Service-level burn</h1>\n<p>History covers " << coveredLabel(report) << ".</p>\n<table>\n";
    writeCells(out, "th", headings());
    for (const auto &row : report.rows) {
        writeCells(out, "td", rowCells(row));
    }
    out << "</table>\n";
    for (const auto &plot : report.plots) {
        writePlot(out, plot);
    }
    out << "</body></html>\n";
    return out.str();
}
}
