package wire

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// MethodShare forwards the load reports of engines to a peer.
const MethodShare Method = "share"

// maxReports is the maximum number of reports in one message.
const maxReports = 512

// SendReports forwards load reports to the peer at addr. It is a notification: a
// lost report is replaced by the next one a second later.
func (c *Client) SendReports(ctx context.Context, addr string, reports []core.Report) error {
	arrays := make([]reportArray, len(reports))
	for i := range reports {
		arrays[i] = reportArray(reports[i])
	}
	return c.notify(ctx, addr, MethodShare, arrays)
}

// OnReports returns a handler of [MethodShare] that passes the reports to handle.
func OnReports(handle func([]core.Report)) MethodHandler {
	return TypedHandler(func(_ context.Context, arrays []reportArray) (struct{}, error) {
		if len(arrays) > maxReports {
			return struct{}{}, codes.New(codes.TooLarge, "share: more than %d reports", maxReports)
		}
		reports := make([]core.Report, len(arrays))
		for i := range arrays {
			reports[i] = core.Report(arrays[i])
			reports[i].Age = max(0, min(reports[i].Age, maxReportAge))
		}
		handle(reports)
		return struct{}{}, nil
	})
}

// maxReportAge caps the age of received reports. Greater ages need no
// distinction.
const maxReportAge = clock.Minute
