#include "gentianloom/report/BurnReport.h"

#include <algorithm>
#include <cstdio>

namespace gentianloom {

namespace {

constexpr double kPlotWidth = 220;
constexpr double kPlotHeight = 90;
constexpr double kBarWidth = 36;
constexpr double kBarGap = 14;

/// Burn rate at the top of a plot. Higher bars are cut off; every bar is labelled with its value.
constexpr double kMaxPlottedRate = 4;

std::string EscapeHtml(std::string_view aText)
{
  std::string out;
  for (const char it : aText) {
    switch (it) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += it;
    }
  }
  return out;
}

std::string FormatNumber(double aNumber)
{
  char buf[32];
  const int n = std::snprintf(buf, sizeof(buf), "%.2f", aNumber);
  return { buf, static_cast<std::size_t>(n) };
}

std::string_view ChooseColour(double aRate)
{
  constexpr double kFastBurnRate = 2;
  if (aRate >= kFastBurnRate) {
    return "#c0392b";
  }
  return aRate >= 1 ? "#d68910" : "#2e7d5b";
}

/// Renders one bar for each window, with a line at the rate that uses up the error budget exactly.
std::string RenderPlot(const BurnReport& aReport, const BurnCounts& aCounts, std::size_t aObjective)
{
  const auto allowed = AllowedShare(aReport.mObjectives, static_cast<Objective>(aObjective));
  std::string out = "<svg width=\"" + FormatNumber(kPlotWidth) + "\" height=\"" +
                    FormatNumber(kPlotHeight + 30) + "\" role=\"img\">";
  double x = kBarGap;
  for (std::size_t window = 0; window < kBurnWindows.size(); ++window) {
    const auto& count = aCounts[window][aObjective];
    const auto rate = BurnRate(count, allowed);
    const auto height = std::min(rate / kMaxPlottedRate, 1.0) * kPlotHeight;
    out += "<rect x=\"" + FormatNumber(x) + "\" y=\"" + FormatNumber(kPlotHeight - height + 10) +
           "\" width=\"" + FormatNumber(kBarWidth) + "\" height=\"" + FormatNumber(height) +
           "\" fill=\"" + std::string(ChooseColour(rate)) + "\"><title>" +
           std::to_string(count.mMissed) + " of " + std::to_string(count.mRequests) +
           "</title></rect>";
    const auto label = count.mRequests == 0 ? std::string("-") : FormatNumber(rate);
    out += "<text x=\"" + FormatNumber(x) + "\" y=\"" +
           FormatNumber(std::max(kPlotHeight - height + 8, 8.0)) + "\">" + label + "</text>";
    out += "<text x=\"" + FormatNumber(x) + "\" y=\"" + FormatNumber(kPlotHeight + 24) + "\">" +
           std::string(kBurnWindows[window].mName) + "</text>";
    x += kBarWidth + kBarGap;
  }
  const auto budgetLine = FormatNumber(kPlotHeight - kPlotHeight / kMaxPlottedRate + 10);
  out += "<line x1=\"0\" x2=\"" + FormatNumber(kPlotWidth) + "\" y1=\"" + budgetLine + "\" y2=\"" +
         budgetLine + "\" stroke=\"#555\" stroke-dasharray=\"4 3\"/>";
  return out + "</svg>";
}

} // namespace

std::string RenderBurnPage(const BurnReport& aReport)
{
  std::string out =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Error budget "
    "burn</title><style>body{font-family:sans-serif;margin:2em}svg text{font-size:10px}"
    "td,th{padding:4px 10px;text-align:left;vertical-align:top;border-bottom:1px solid #ddd}"
    "</style></head><body>\n<h1>Error budget burn</h1>\n<p>Each bar shows the burn rate of a "
    "window; a rate of 1 (dashed line) uses up the error budget exactly. Instances that "
    "responded: " +
    std::to_string(aReport.mInstances.size()) + ".";
  for (const auto& it : aReport.mMissingInstances) {
    out += " No response from " + EscapeHtml(it) + ".";
  }
  out += "</p>\n<table><tr><th>organisation</th><th>service</th>";
  for (const auto it : kObjectiveNames) {
    out += "<th>" + std::string(it) + "</th>";
  }
  out += "</tr>\n";
  for (const auto& [key, counts] : aReport.mCounts) {
    out += "<tr><td>" + EscapeHtml(key.first) + "</td><td>" + EscapeHtml(key.second) + "</td>";
    for (std::size_t n = 0; n < kObjectiveCount; ++n) {
      out += "<td>" + RenderPlot(aReport, counts, n) + "</td>";
    }
    out += "</tr>\n";
  }
  out += "</table>\n<p>Time counted by each instance since its start:";
  for (const auto& it : aReport.mInstances) {
    out += " " + EscapeHtml(it.first) + " " + std::to_string(it.second) + " s;";
  }
  return out + "</p>\n</body></html>\n";
}

} // namespace gentianloom
