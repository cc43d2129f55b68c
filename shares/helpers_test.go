package shares

import (
	"io"
	"log/slog"
)

func textLogger(w io.Writer) *slog.Logger { return slog.New(slog.NewTextHandler(w, nil)) }
