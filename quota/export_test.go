package quota

import "context"

// Maintain does what [Client.Run] does at each interval.
func (c *Client) Maintain(ctx context.Context) { c.maintain(ctx) }

// Ranked returns the names of the owner of a workspace and of its successors.
func (c *Client) Ranked(workspace string) []string {
	var names []string
	for _, in := range c.current()[0].ranked(workspace) {
		names = append(names, in.Name)
	}
	return names
}
