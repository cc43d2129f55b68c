package gateway

import (
	"fmt"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
)

// ServicePrefix is the path of calls to plain services: POST
// /v1/services/NAME/PATH is forwarded to a back end of model NAME as POST /PATH.
const ServicePrefix = "/v1/services/"

// serviceAnswer is the sink for the answer of a plain service, which is relayed unchanged.
type serviceAnswer struct {
	status      int
	contentType string
	body        []byte
}

func (s *serviceAnswer) streams() bool                             { return false }
func (s *serviceAnswer) event([]byte, *openai.Chunk) (bool, error) { return false, nil }
func (s *serviceAnswer) reset()                                    { *s = serviceAnswer{} }

func (s *serviceAnswer) complete(resp *http.Response, body []byte, _ route.BackendInfo) (int, error) {
	if resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
		return 0, fmt.Errorf("answer truncated: got %d of %d bytes", len(body), resp.ContentLength)
	}
	s.status, s.contentType, s.body = resp.StatusCode, resp.Header.Get("Content-Type"), body
	return 0, nil
}

// service handles a call to a plain service.
func (g *Gateway) service(c *gin.Context) *route.Refusal {
	body, ref := g.readBody(c)
	if ref != nil {
		return ref
	}
	q := &request{c: c, body: body, release: func() {}, name: c.Param("name"),
		service: &backendCall{path: c.Param("path"), body: body, contentType: c.GetHeader("Content-Type")}}
	if ref := g.begin(q); ref != nil {
		return ref
	}
	return g.serveService(q)
}

func (g *Gateway) serveService(q *request) *route.Refusal {
	dec, ref := g.decide(q, q.name)
	if ref != nil {
		return ref
	}
	if ref := g.open(q, dec); ref != nil {
		return ref
	}
	defer q.end()
	ans := &serviceAnswer{}
	if g.dispatch(q, dec, ans).kind != completeAnswer {
		return g.conclude(q, nil, nil)
	}
	g.settle(q, ledger.OutcomeOK)
	g.Scope.Counter("answers").Inc(1)
	g.closeConnIfStopping(q.c)
	q.c.Data(ans.status, ans.contentType, ans.body)
	return nil
}
