package wire

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// MethodShare passes engines' load reports on.
const MethodShare Method = "share"

// maxReports bounds the reports of one message.
const maxReports = 512

// SendReports passes reports on to the peer at addr. There is no answer: a report
// that is lost is followed by another a second later.
func (c *Client) SendReports(ctx context.Context, addr string, reports []core.Report) error {
	loads := make([]load, len(reports))
	for i := range reports {
		loads[i] = load(reports[i])
	}
	return c.notify(ctx, addr, MethodShare, loads)
}

// OnShare answers [MethodShare] by handing the reports to take.
func OnShare(take func([]core.Report)) Func {
	return Answer(func(_ context.Context, loads []load) (struct{}, error) {
		if len(loads) > maxReports {
			return struct{}{}, codes.New(codes.TooLarge, "share: over %d reports", maxReports)
		}
		reports := make([]core.Report, len(loads))
		for i := range loads {
			reports[i] = core.Report(loads[i])
			reports[i].Age = max(0, min(reports[i].Age, maxReportAge))
		}
		take(reports)
		return struct{}{}, nil
	})
}

// maxReportAge is the greatest age that is told apart.
const maxReportAge = clock.Minute
