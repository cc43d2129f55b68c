package e2e

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/standin/engine"
)

func TestStreamedAnswerArrivesWholeAndInOrder(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 1})
	const tokens = 20
	a := c.chat(t, 0, request{key: "ka", model: "m", stream: true, tokens: tokens})
	is.Equal(a.status, http.StatusOK)
	is.True(a.done) // the stream ended with [DONE]
	is.Equal(len(a.chunks), tokens)
	for i, ch := range a.chunks {
		is.Equal(ch.ID, a.requestID)                                        // no chunk of another request
		is.Equal(ch.Choices[0].Delta.Content, engine.Token(a.requestID, i)) // complete and in order
	}
}

func TestDisallowedModelIsRefusedNotRun(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 1})
	a := c.chat(t, 0, request{key: "kn", model: "m", tokens: 3})
	is.Equal(a.status, http.StatusForbidden)
	var body openai.ErrorBody
	is.NoErr(json.Unmarshal(a.body, &body))
	is.Equal(body.Error.Type, openai.OutcomeNotRun)
	is.Equal(body.Error.Code, "model_not_allowed")
	is.Equal(a.header.Get(openai.HeaderBackend), "") // no back end was called
}
