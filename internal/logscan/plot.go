package logscan

import (
	"fmt"
	"html"
	"io"
	"maps"
	"slices"
	"strings"
)

// Size of the plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 300
	plotMargin = 40
)

// plotColors are the colors of the results in the order of their names.
var plotColors = []string{"#1b7837", "#b2182b", "#2166ac", "#d6a000", "#762a83", "#555555", "#00a0a0"}

// WriteSVG writes the requests that ended in each second, by result, as an SVG image.
func (rep *Report) WriteSVG(out io.Writer) error {
	results, highest := make(map[string]bool), 1
	for _, second := range rep.Seconds {
		for name, n := range second {
			results[name] = true
			highest = max(highest, n)
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<text x="%d" y="15">requests that ended in a second, highest %d; %d seconds</text>`+"\n", plotMargin, highest, len(rep.Seconds))
	for i, name := range slices.Sorted(maps.Keys(results)) {
		color := plotColors[i%len(plotColors)]
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" points="%s"/>`+"\n", color, rep.points(name, highest))
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin+i*120, plotHeight-10, color, html.EscapeString(name))
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(out, b.String())
	return err
}

// points returns the points of the line of one result.
func (rep *Report) points(result string, highest int) string {
	points := make([]string, 0, len(rep.Seconds))
	step := float64(plotWidth-2*plotMargin) / float64(max(len(rep.Seconds)-1, 1))
	for second, counts := range rep.Seconds {
		height := float64(counts[result]) / float64(highest) * (plotHeight - 2*plotMargin)
		points = append(points, fmt.Sprintf("%.1f,%.1f", plotMargin+step*float64(second), plotHeight-plotMargin-height))
	}
	return strings.Join(points, " ")
}
