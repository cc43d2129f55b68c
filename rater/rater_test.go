package rater

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/internal/answertest"
	"github.com/lovageweir/lovageweir/upstream"
)

// Guards against using ratings from answers that are not valid, and against refusing unusual ones.
func TestInvalidAnswersOfTheRaterAreNotUsed(t *testing.T) {
	answertest.CheckReader(t, "", `{"score":0.5}`, func(address string) error {
		score, err := NewClient("http://"+address).Rate(context.Background(), Answer{})
		if err == nil && score != 0.5 {
			return errors.New("another score")
		}
		return err
	})
}

// Guards against a faulty rater filling the memory with its answer, which was bounded in time only.
func TestAnswersOfTheRaterAreBounded(t *testing.T) {
	is := is.New(t)
	address := answertest.StartEndless(t, "HTTP/1.1 200 OK\r\n\r\n{\"score\": \"", func(*http.Request) string { return "a" })
	began := time.Now()
	_, err := NewClient("http://"+address).Rate(context.Background(), Answer{})
	is.Equal(upstream.BoundOf(err), upstream.BodyBytes)
	is.True(time.Since(began) < Timeout)
}
