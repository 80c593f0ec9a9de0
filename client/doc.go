// Package client calls the operators' interface of an entry. The program
// lacectl is a thin layer over it, and other tools may use it the same way.
//
// # Usage
//
//	c := &client.Client{Base: "https://10.20.1.11:7001", Token: token}
//	doc, err := c.Document(ctx)
//	version, err := c.Publish(ctx, doc, doc.Version)
//
// An error that the entry answered with is a [codes.Error].
package client
