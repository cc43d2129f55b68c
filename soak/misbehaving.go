package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Clients that misbehave within the configuration's limits, beside the other callers.
const (
	misbehavers = 96
	// misbehavingFDs is the bound of an entry's descriptors: fewer connections than there are clients.
	misbehavingFDs  = 560
	misbehaverPause = 20 * time.Millisecond
	// misbehavingHead is the size of a head in bytes, misbehavingBody that of a declared body.
	misbehavingHead = 16 << 10
	misbehavingBody = 1 << 20
)

// misbehave plays clients at all entries until ctx ends.
func (c *cluster) misbehave(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range misbehavers {
		rng := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.misbehaveOnce(ctx, rng, fmt.Sprintf("m%d-%d", i, n))
				select {
				case <-time.After(misbehaverPause):
				case <-ctx.Done():
				}
			}
		})
	}
}

// misbehaveOnce plays a client on one connection.
func (c *cluster) misbehaveOnce(ctx context.Context, rng *rand.Rand, id string) {
	conn, err := net.DialTimeout("tcp", c.entries[rng.IntN(len(c.entries))].callers, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	path := pathOf([]string{kindPost, kindGet, kindNonResumable}[rng.IntN(3)], 0)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Remaining: 2000\r\n", path, host, id, apiKey)
	filled := func(line func(i int) string) string {
		var b strings.Builder
		b.WriteString(head)
		for i := 0; b.Len() < misbehavingHead-64; i++ {
			b.WriteString(line(i))
		}
		return b.String()
	}
	lines := filled(func(i int) string { return fmt.Sprintf("%x:\n", i) })
	hold := time.Duration(rng.IntN(1500)) * time.Millisecond
	_ = conn.SetDeadline(time.Now().Add(hold + 3*time.Second))
	var raw string
	switch rng.IntN(7) {
	case 0:
		raw = lines + "\r\n"
	case 1:
		raw = filled(func(int) string { return "a:\r\n" }) + "\r\n"
	case 2:
		raw = strings.Repeat(lines+"\r\n", 3) // ahead
	case 3:
		raw = lines[:len(lines)-rng.IntN(2000)] // without an end
	case 4:
		raw = head + fmt.Sprintf("Content-Length: %d\r\n\r\n", misbehavingBody)
	case 5:
		raw = filled(func(i int) string {
			if i == 0 {
				return "X-Prompt-Prefix: "
			}
			return fmt.Sprintf("%x:1,", rng.Uint32())
		}) + "\r\n\r\n"
	case 6:
		raw = head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 5000) + "0\r\na:\r\n\r\n"
	}
	if _, err := io.WriteString(conn, raw); err != nil {
		return
	}
	if rng.IntN(2) == 0 { // without reading
		select {
		case <-time.After(hold):
		case <-ctx.Done():
		}
		return
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
