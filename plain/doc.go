// Package plain calls plain services, which run no inference. A call that may be
// repeated is retried at other replicas after a failure. Any other call is
// retried only with proof that the previous replica didn't receive it.
//
// # Usage
//
//	c := &plain.Caller{Services: client, Replicas: pool, Orders: executor}
//	answer, err := c.Call(ctx, call)
package plain
