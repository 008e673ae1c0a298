// Package api holds the messages that operators exchange with a node over
// HTTP, and a client for them.
//
// # Usage
//
//	c := api.New("http://127.0.0.1:8082", token)
//	decision, err := c.Publish(ctx, change)
package api

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
	"github.com/cicadaseam/cicadaseam/internal/report/burn"
)

// Fleet is the fleet as one node sees it.
type Fleet struct {
	Self          Member    `json:"self"`
	Members       []Member  `json:"members"`
	At            time.Time `json:"at"`
	Ready         bool      `json:"ready"`
	Halted        string    `json:"halted,omitempty"`
	LogAgeSeconds float64   `json:"ageOfLogSeconds"`
}

// Member is one node of a Fleet.
type Member struct {
	cicadaseam.Member
	// HeardSeconds is how long ago this node was last heard of.
	LastHeardSeconds float64 `json:"heardSeconds"`
	// Version is the configuration that it answered with; 0 when it did not
	// answer.
	Version  cicadaseam.Offset `json:"version"`
	Position cicadaseam.Offset `json:"position"`
	Answered bool              `json:"answered"`
}

// Progress tells how many nodes are at a version or past it.
type Progress struct {
	Version cicadaseam.Offset `json:"version"`
	// All counts the nodes that are not known to be dead or gone.
	Total   int       `json:"all"`
	Reached int       `json:"have"`
	At      time.Time `json:"at"`
	// Behind names some of the nodes that are not there, or did not answer.
	Behind []string `json:"behind,omitempty"`
}

// Tree is a whole tree of settings.
type Tree struct {
	Version  cicadaseam.Offset      `json:"version"`
	Position cicadaseam.Offset      `json:"position"`
	Digest   string                 `json:"digest"`
	Objects  map[string]tree.Object `json:"objects"`
}

// Failure is the answer to a request that failed.
type ErrorResponse struct {
	Message string `json:"error"`
}

// StatusError reports an answer other than success.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("node answered %d: %s", e.Status, e.Message)
}

// Client talks to the operator address of a node.
type Client struct {
	base *sling.Sling
}

// New returns a client. The token may be empty.
func New(url, token string) *Client {
	s := sling.New().Client(&http.Client{}).Base(url)
	if token != "" {
		s = s.Set("Authorization", "Bearer "+token)
	}
	return &Client{base: s}
}

// Publish publishes a change and returns the decision on it.
func (c *Client) Publish(ctx context.Context, change cicadaseam.Change) (cicadaseam.Decision, error) {
	var d cicadaseam.Decision
	err := c.do(ctx, c.base.New().Post("/v1/changes").BodyJSON(change), &d)
	return d, err
}

// Fleet returns the fleet as the node sees it, with the version of each member
// that answers.
func (c *Client) Fleet(ctx context.Context) (Fleet, error) {
	var f Fleet
	err := c.do(ctx, c.base.New().Get("/v1/fleet"), &f)
	return f, err
}

type progressQuery struct {
	Version cicadaseam.Offset `url:"version"`
}

// Progress returns how many nodes are at a version or past it. Looking again
// costs only questions to those that were not.
func (c *Client) Progress(ctx context.Context, version cicadaseam.Offset) (Progress, error) {
	var p Progress
	err := c.do(ctx, c.base.New().Get("/v1/progress").QueryStruct(progressQuery{version}), &p)
	return p, err
}

// Tree returns the tree that the node holds.
func (c *Client) Tree(ctx context.Context) (Tree, error) {
	var t Tree
	err := c.do(ctx, c.base.New().Get("/v1/tree"), &t)
	return t, err
}

type targetQuery struct {
	Deployment string `url:"deployment,omitempty"`
	Zone       string `url:"zone,omitempty"`
	Service    string `url:"service,omitempty"`
	Class      string `url:"class,omitempty"`
}

// Config returns the effective settings of a place in the tree.
func (c *Client) Config(ctx context.Context, t tree.ScopeTarget) ([]tree.Setting, error) {
	var out []tree.Setting
	q := targetQuery{t.Deployment, t.Zone, t.Service, t.Class}
	err := c.do(ctx, c.base.New().Get("/v1/config").QueryStruct(q), &out)
	return out, err
}

// Burn returns the report on service-level burn.
func (c *Client) Burn(ctx context.Context) (burn.Report, error) {
	var r burn.Report
	err := c.do(ctx, c.base.New().Get("/v1/burn"), &r)
	return r, err
}

func (c *Client) do(ctx context.Context, s *sling.Sling, out any) error {
	req, err := s.Request()
	if err != nil {
		return err
	}
	var failure ErrorResponse
	resp, err := s.Do(req.WithContext(ctx), out, &failure)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{Status: resp.StatusCode, Message: failure.Message}
	}
	return nil
}
