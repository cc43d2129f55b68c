package mesh

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// sendEndless answers with bytes without end.
func sendEndless(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/protobuf")
	piece := bytes.Repeat([]byte("a"), 64<<10)
	for {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// Guards against a faulty entry filling the memory with its answer, which was bounded in time only.
func TestAnswersOfEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(sendEndless))
	defer srv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	m := New(Deps{})
	_, err := m.Peer(strings.TrimPrefix(srv.URL, "http://")).Exchange(ctx, &meshpb.ExchangeMessage{})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "body_bytes"))
	_, err = NewLimitOwners().TakeLimit(ctx, fleet.Entry{Address: strings.TrimPrefix(srv.URL, "http://")}, ratelimit.Ask{})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "body_bytes"))
	is.NoErr(ctx.Err())
}

// Guards against a faulty entry filling the memory with its message.
func TestMessagesOfEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(Bounded(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}), nil))
	defer srv.Close()
	resp, err := http.Post(srv.URL, "application/protobuf", io.LimitReader(zeros{}, maxMessageBytes+1))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.NoErr(resp.Body.Close())
}

// Guards against messages that fill the memory together; what they took is released.
func TestMessagesOfEntriesShareTheirMemory(t *testing.T) {
	is := is.New(t)
	memory := membudget.New(messageCost * 1000)
	var read error
	h := Bounded(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, read = io.Copy(io.Discard, r.Body) }), memory)
	for _, size := range []int64{1000, 1001, 1000} {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", io.LimitReader(zeros{}, size)))
		is.Equal(read != nil, size > 1000)
		is.Equal(memory.Used(), int64(0))
	}
}

// Guards against a small message that takes up the whole memory once it is unpacked.
func TestUnpackedChangesAreBounded(t *testing.T) {
	is := is.New(t)
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	is.NoErr(err)
	_, err = io.CopyN(w, zeros{}, maxUnpackedBytes+1)
	is.NoErr(err)
	is.NoErr(w.Close())
	_, err = unpack(packed.Bytes())
	is.True(errors.Is(err, errUnpackedTooLarge))
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
