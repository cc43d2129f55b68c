package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an answer that was overtaken being taken for a configuration that reverts, and against one that reverts being missed.
func TestAConfigurationThatRevertsIsDetected(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	s := &callers{c: &cluster{version: 4}, served: map[string]servedVersion{}}
	s.checkVersion("e", result{version: 4, status: http.StatusOK, started: at(10), ended: at(20)})
	s.checkVersion("e", result{version: 4, status: http.StatusOK, started: at(40), ended: at(50)})
	s.checkVersion("e", result{version: 4, status: http.StatusNotFound, started: at(5), ended: at(60)})
	is.Equal(len(s.findings), 0)
	s.checkVersion("e", result{version: 4, status: http.StatusNotFound, started: at(30), ended: at(70)})
	is.Equal(len(s.findings), 1)
}
