package commands

import (
	"context"
	"fmt"
	"io"
	"time"

	"catkinrail.example/catkinrail/protocol/api"
)

func serviceList(a *App) {
	c := a.group("service", "Services.").Command("list", "List the services.")
	a.handle(c, func(ctx context.Context) error {
		list, err := a.services(ctx)
		if err != nil {
			return err
		}
		return a.print(list, func(w io.Writer) {
			fmt.Fprintln(w, "NAME\tADDRESS\tPROTOCOL\tBALANCE\tBUCKETS\tMOVING\tIDLE TIMEOUT")
			for _, s := range list.GetServices() {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", s.GetName(), s.GetAddress(), s.GetProtocol(),
					s.GetBalance(), s.GetBuckets(), s.GetMovingBuckets(), seconds(s.GetIdleTimeout()))
			}
		})
	})
}

func seconds(n uint32) time.Duration {
	return time.Duration(n) * time.Second
}

func (a *App) services(ctx context.Context) (list *api.ServiceList, err error) {
	err = a.client.Call(ctx, "list services", func(ctx context.Context, c api.DRPCOperatorClient) (err error) {
		list, err = c.ListServices(ctx, &api.Empty{})
		return err
	})
	return list, err
}

// service returns a service and the state version at which it was read.
func (a *App) service(ctx context.Context, name string) (*api.Service, uint64, error) {
	list, err := a.services(ctx)
	if err != nil {
		return nil, 0, err
	}
	s, err := findService(list, name)
	return s, list.GetVersion(), err
}
