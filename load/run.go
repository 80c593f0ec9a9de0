package load

import (
	"context"
	"fmt"
	"io"

	"lacewinghook.example/lacewinghook/chart"
)

// Run runs each policy with each seed, one after another, and writes a line to
// progress after each run.
func Run(ctx context.Context, p *Plan, progress io.Writer) (*chart.Report, error) {
	r := &chart.Report{Plan: p.Name}
	for _, seed := range p.Seeds {
		for _, policy := range p.Policies {
			row, err := runPolicy(ctx, p, policy, seed)
			if err != nil {
				return r, err
			}
			fmt.Fprintf(progress, "load: %s seed %d: %d of %d good\n", policy.Name, seed, row.Good, row.Offered)
			r.Rows = append(r.Rows, row)
		}
	}
	return r, nil
}
