// Package chart holds the results of load runs and shows them: as a table with
// a column for each policy, as JSON, and as a plot.
//
// # Usage
//
//	r := &chart.Report{Plan: "verse", Rows: rows}
//	r.Text(os.Stdout)
package chart
