package commands

import (
	"context"
	"fmt"
	"io"
)

func serviceShow(a *App) {
	c := a.group("service", "Services.").Command("show", "Show a service's settings.")
	name := c.Arg("name", "Name of the service.").Required().String()
	a.handle(c, func(ctx context.Context) error {
		s, version, err := a.service(ctx, *name)
		if err != nil {
			return err
		}
		return a.print(s, func(w io.Writer) {
			rows := []struct {
				name  string
				value any
			}{
				{"name", s.GetName()},
				{"address", s.GetAddress()},
				{"protocol", s.GetProtocol()},
				{"balance", s.GetBalance()},
				{"buckets", s.GetBuckets()},
				{"moving-buckets", s.GetMovingBuckets()},
				{"idle-timeout", seconds(s.GetIdleTimeout())},
				{"max-records", s.GetMaxRecords()},
				{"max-eject-percent", s.GetMaxEjectPercent()},
				{"objective-broken", s.GetObjective().GetBrokenPerMillion()},
				{"objective-refused", s.GetObjective().GetRefusedPerMillion()},
				{"objective-imbalance", s.GetObjective().GetImbalancePercent()},
				{"version", version},
			}
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%v\n", r.name, r.value)
			}
		})
	})
}
