package wire

import (
	"context"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/clock"
)

// The methods with which entries place completions at the owners of engines.
// MethodPlace asks for engines; MethodWork reports the caller's work.
const (
	MethodPlace Method = "place"
	MethodWork  Method = "work"
)

// maxPlaceTime bounds a call of [MethodPlace], which the owner may keep waiting.
const maxPlaceTime = 2 * clock.Second

// Place asks the entry at addr to place a request. It implements [alloc.Peers].
func (c *Client) Place(ctx context.Context, addr string, call alloc.Call) (alloc.Result, error) {
	var r alloc.Result
	err := c.callWithin(ctx, maxPlaceTime, addr, MethodPlace, call, &r)
	return r, err
}

// Report sends a report as a notification. It implements [alloc.Peers].
func (c *Client) Report(ctx context.Context, addr string, r alloc.Report) error {
	return c.notify(ctx, addr, MethodWork, r)
}

// OnPlace returns a handler of [MethodPlace] that answers with the result of serve.
func OnPlace(serve func(context.Context, alloc.Call) alloc.Result) MethodHandler {
	return TypedHandler(func(ctx context.Context, c alloc.Call) (alloc.Result, error) { return serve(ctx, c), nil })
}

// OnWork returns a handler of [MethodWork] that passes the report to handle.
func OnWork(handle func(alloc.Report)) MethodHandler { return notificationHandler(handle) }
