// Package status implements `lovagectl status`: it queries each entry over the
// peer API for its instance, failure domain, configuration revision, readiness
// and peers.
package status

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// Register adds the subcommand to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("status", "Show each entry's configuration revision and readiness.")
	entries := cmd.Flag("entry", "Entry base URL (repeat).").Required().Strings()
	cmd.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		failed := 0
		for _, u := range *entries {
			st, err := peerpb.NewPeerProtobufClient(u, &http.Client{}).Status(ctx, &peerpb.StatusRequest{})
			if err != nil {
				failed++
				fmt.Printf("%-28s unreachable: %v\n", u, err)
				continue
			}
			fmt.Printf("%-28s instance=%s domain=%s revision=%d ready=%v in_flight=%d live_peers=%d watching=%v\n",
				u, st.Instance, st.Domain, st.ConfigRevision, st.Ready, st.InFlight, st.LivePeers, st.Watching)
		}
		if failed > 0 {
			return fmt.Errorf("%d of %d entries unreachable", failed, len(*entries))
		}
		return nil
	})
}
