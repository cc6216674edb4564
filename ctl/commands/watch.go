package commands

import (
	"context"
	"fmt"
	"io"

	"catkinrail.example/catkinrail/protocol/api"
)

func watch(a *App) {
	c := a.kingpin.Command("watch", "Show each change as it comes into force, until interrupted.")
	a.handle(c, func(ctx context.Context) error {
		return a.client.Stream(ctx, func(ctx context.Context, c api.DRPCOperatorClient) error {
			stream, err := c.Watch(ctx, &api.Empty{})
			if err != nil {
				return err
			}
			defer stream.Close()
			for {
				e, err := stream.Recv()
				if err != nil {
					return err
				}
				err = a.print(e, func(w io.Writer) {
					fmt.Fprintf(w, "version %d: %s\n", e.GetVersion(), e.GetDetail())
				})
				if err != nil {
					return err
				}
			}
		})
	})
}
