package chart

import (
	"fmt"
	"io"
	"strings"
)

// Dimensions of the plot, in pixels.
const (
	plotWidth        = 760
	plotHeight       = 320
	plotMargin       = 48
	legendLineHeight = 18
)

// palette holds the colours of the lines. With more policies than colours, the
// colours repeat.
var palette = []string{"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b9770e", "#34495e", "#16a085"}

// SVG plots the number of requests that met both latency targets against the
// second of their arrival. Each policy has one line, which shows the run with the
// median goodput over the seeds.
func (r *Report) SVG(w io.Writer) error {
	names, rows := r.rowsByPolicy()
	top := 1
	for _, row := range r.Rows {
		for _, n := range row.Series {
			top = max(top, n)
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth, plotHeight+legendLineHeight*len(names))
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	fmt.Fprintf(&b, `<text x="%d" y="20">%s: served within both targets, by second of arrival (highest %d)</text>`+"\n", plotMargin, r.Plan, top)
	for i, name := range names {
		colour := palette[i%len(palette)]
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`+"\n", colour, polylinePoints(medianRow(rows[name]).Series, top))
		y := plotHeight + legendLineHeight*i
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin, y, colour, name)
	}
	fmt.Fprintln(&b, "</svg>")
	_, err := io.WriteString(w, b.String())
	return err
}

// polylinePoints returns the points attribute of a polyline that shows series.
// The plot area inside the margins has the vertical range 0 to top.
func polylinePoints(series []int, top int) string {
	var b strings.Builder
	width := float64(plotWidth - 2*plotMargin)
	height := float64(plotHeight - 2*plotMargin)
	for i, n := range series {
		x := plotMargin + width*float64(i)/float64(max(1, len(series)-1))
		y := plotHeight - plotMargin - height*float64(n)/float64(top)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return strings.TrimSpace(b.String())
}
