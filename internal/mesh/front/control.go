package front

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/budget"
)

// Limits of a server for control: readiness checks, announcements, metrics, operators.
const (
	// controlBudget is in bytes, and controlConns in connections.
	controlBudget = 4 << 20
	controlConns  = 64
	// controlBodyTimeout bounds the time in which a body arrives.
	controlBodyTimeout = 5 * time.Second
)

// controlLimits bound a request for control. The largest are changes of an operator.
var controlLimits = cicadaseam.Limits{
	MaxHeaderBytes: 8 << 10,
	MaxBodyBytes:   1 << 20,
	HeaderTimeout:  5 * time.Second,
	IdleTimeout:    2 * time.Minute,
}

// NewControl returns a server for an address that is not for callers, with a small budget and few
// connections of its own: a crowd there takes little memory and leaves the callers theirs.
func NewControl(h http.Handler, logger *zap.Logger) *Server {
	return New(HTTPHandler(h, logger),
		WithLimits(func() cicadaseam.Limits { return controlLimits }),
		WithBudget(budget.New(controlBudget)), WithMaxConns(controlConns), WithBodyTimeout(controlBodyTimeout))
}
