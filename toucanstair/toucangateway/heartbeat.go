package toucangateway

import (
	"context"

	"toucanstair.example/core/toucanpb"
)

// Beat sends a heartbeat to the host at an address and returns its reply.
func (c *Client) Beat(ctx context.Context, address string, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	conn, end, err := c.beginCall(address)
	if err != nil {
		return nil, err
	}
	defer end()
	return toucanpb.NewPeerClient(conn).Beat(ctx, r)
}
