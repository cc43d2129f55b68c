package mesh

import (
	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/rpc/meshpb"
	"github.com/lovageweir/lovageweir/shares"
)

// Largest sizes in a datagram of a row, and of the tags and lengths of its columns.
const (
	delayRowBytes      = 4 + 1 + 2 + 3
	delayColumnsBytes  = 4 * 4
	demandRowBytes     = 4 + 4 + 4
	demandColumnsBytes = 3 * 4
	// reservedBytes are left for delays and answers: some twenty rows.
	reservedBytes = 200
	// maxRowAnswers is the largest number of answers that fits a row.
	maxRowAnswers = 1<<14 - 1
)

// addDelays adds the delays of the answers since the last datagram, as many as fit.
func (l *LoadExchange) addDelays(msg *meshpb.Load) {
	left := maxDatagramBytes - proto.Size(msg) - delayColumnsBytes
	for _, r := range l.Shares.TakeDelays() {
		if left -= delayRowBytes; left < 0 {
			l.Scope.Counter("delays_left_out").Inc(1)
			continue
		}
		msg.DelayService = append(msg.DelayService, r.Service)
		msg.DelayUrgency = append(msg.DelayUrgency, r.Urgency)
		msg.DelayAnswers = append(msg.DelayAnswers, min(r.Answers, maxRowAnswers))
		msg.DelayPermille = append(msg.DelayPermille, r.Permille)
	}
}

// addDemands adds what customers ask of this entry, the largest figures first, as many as fit beside some
// delays and answers.
func (l *LoadExchange) addDemands(msg *meshpb.Load) {
	left := maxDatagramBytes - proto.Size(msg) - demandColumnsBytes - reservedBytes
	for _, r := range l.Shares.Demands() {
		if left -= demandRowBytes; left < 0 {
			return
		}
		msg.DemandService = append(msg.DemandService, r.Service)
		msg.DemandCustomer = append(msg.DemandCustomer, r.Customer)
		msg.Demand = append(msg.Demand, min(r.Rate, 1<<28-1))
	}
}

// receiveShares applies the delays and demands of a datagram. One without demands is from an entry that has none, or of a
// build that does not tell.
func (l *LoadExchange) receiveShares(msg *meshpb.Load) {
	delays := make([]shares.DelayRow, 0, len(msg.DelayService))
	for i, service := range msg.DelayService {
		delays = append(delays, shares.DelayRow{Service: service, Urgency: msg.DelayUrgency[i], Answers: msg.DelayAnswers[i], Permille: msg.DelayPermille[i]})
	}
	l.Shares.ReceiveDelays(delays)
	demands := make([]shares.DemandRow, 0, len(msg.DemandService))
	for i, service := range msg.DemandService {
		demands = append(demands, shares.DemandRow{Service: service, Customer: msg.DemandCustomer[i], Rate: msg.Demand[i]})
	}
	l.Shares.ReceiveDemands(msg.Instance, demands)
}

// shareColumnsMatch reports whether the columns of delays and of demands have equal lengths each.
func shareColumnsMatch(msg *meshpb.Load) bool {
	delays, demands := len(msg.DelayService), len(msg.DemandService)
	return delays == len(msg.DelayUrgency) && delays == len(msg.DelayAnswers) && delays == len(msg.DelayPermille) &&
		demands == len(msg.DemandCustomer) && demands == len(msg.Demand)
}
