package command

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/etcdv3"
)

// KVFlag adds --kv to a subcommand. The returned function creates the client; call
// it after the command line is parsed.
func KVFlag(cmd *kingpin.CmdClause) func() kv.Client {
	url := cmd.Flag("kv", "KV service URL.").Default("http://127.0.0.1:2379").String()
	return func() kv.Client { return etcdv3.New(*url, nil) }
}
