package mesh

import (
	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/capacity"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// maxSlowdownBytes is the size of a figure in a datagram, slowdownHeaderBytes that of the column's tag
// and length.
const (
	maxSlowdownBytes    = 2
	slowdownHeaderBytes = 4
)

// addSlowdowns adds the slowdowns of the endpoints in msg.Loaded, whose reports are the first of those
// given. Nothing is added if no endpoint reports one, or if they do not fit.
func addSlowdowns(msg *meshpb.Load, reports []place.LoadReport) {
	reports = reports[:len(msg.Loaded)]
	column := make([]uint32, 0, len(reports))
	reported := false
	for _, r := range reports {
		percent := 0
		if capacity.Valid(r.SlowdownPercent) {
			percent, reported = r.SlowdownPercent, true
		}
		column = append(column, uint32(percent))
	}
	if reported && proto.Size(msg)+slowdownHeaderBytes+maxSlowdownBytes*len(column) <= maxDatagramBytes {
		msg.SlowdownPercent = column
	}
}

// slowdown returns the slowdown of the endpoint with the given index in msg.Loaded; 0: not reported.
func slowdown(msg *meshpb.Load, i int) int {
	if len(msg.SlowdownPercent) == 0 {
		return 0
	}
	return int(msg.SlowdownPercent[i])
}

// slowdownsMatch reports whether there is one slowdown for each load, or none.
func slowdownsMatch(msg *meshpb.Load) bool {
	return len(msg.SlowdownPercent) == 0 || len(msg.SlowdownPercent) == len(msg.Loaded)
}
