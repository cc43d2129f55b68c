package rater

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/lovageweir/lovageweir/upstream"
)

// Path is the URL path for rating requests (POST, Answer as JSON).
const Path = "/v1/rate"

// Timeout bounds one rating call.
const Timeout = 500 * time.Millisecond

// Bounds of the rater's answers.
const (
	maxHeaderBytes = 16 << 10
	maxScoreBytes  = 16 << 10
)

// Answer is the request body: the answer to rate and the prompt it belongs to.
type Answer struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	Text      string `json:"text"`
}

// Score is the response body.
type Score struct {
	Score float64 `json:"score"`
}

// Rater rates answers.
type Rater interface {
	Rate(ctx context.Context, a Answer) (float64, error)
}

// Client is a Rater over HTTP.
type Client struct {
	base string
	hc   *http.Client
}

// NewClient returns a client for the service at baseURL.
func NewClient(baseURL string) *Client {
	return &Client{base: strings.TrimSuffix(baseURL, "/"),
		hc: upstream.NewClient(&http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeaderBytes}, maxScoreBytes)}
}

// Rate implements Rater.
func (c *Client) Rate(ctx context.Context, a Answer) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	b, err := json.Marshal(a)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+Path, bytes.NewReader(b))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.hc.Do(req)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, trace.ConnectionProblem(nil, "rater: answered %d", resp.StatusCode)
	}
	var s Score
	return s.Score, trace.Wrap(json.NewDecoder(resp.Body).Decode(&s))
}
