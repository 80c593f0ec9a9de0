// Package chart holds the results of load tests and writes them as a table with
// one column per policy, as JSON, and as an SVG plot.
//
// # Usage
//
//	r := &chart.Report{Plan: "verse", Rows: rows}
//	r.Text(os.Stdout)
package chart
