// Package api defines the messages of the HTTP API that a node offers to operators, and
// a client for it.
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
	"github.com/cicadaseam/cicadaseam/internal/client/http1"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
	"github.com/cicadaseam/cicadaseam/internal/report/burn"
)

// Fleet is the fleet as the node Self sees it.
type Fleet struct {
	Self    Member    `json:"self"`
	Members []Member  `json:"members"`
	At      time.Time `json:"at"`
	// Ready says whether Self accepts calls.
	Ready bool `json:"ready"`
	// Halted is the reason why Self applies no more configuration records. It is empty
	// if it does.
	Halted string `json:"halted,omitempty"`
	// LogAgeSeconds is the time in seconds since the last response of the log that Self
	// has learned of. It is negative if there was none.
	LogAgeSeconds float64 `json:"ageOfLogSeconds"`
}

// Member is one node of a Fleet.
type Member struct {
	cicadaseam.Member
	// LastHeardSeconds is the time in seconds since this node last changed or acknowledged.
	LastHeardSeconds float64 `json:"heardSeconds"`
	// Version is the configuration version by which the node answers calls. It is 0 if
	// the node does not accept calls yet, or if Answered is false. For Self it is the
	// version of its tree, whether Self accepts calls or not.
	Version cicadaseam.Offset `json:"version"`
	// Position is the offset of the last configuration record that the node has applied,
	// or 0 if Answered is false.
	Position cicadaseam.Offset `json:"position"`
	// Answered says whether the node answered the query for its status in time.
	Answered bool `json:"answered"`
}

// Progress says how many nodes have reached a version.
type Progress struct {
	Version cicadaseam.Offset `json:"version"`
	// Total is the number of nodes that are not known to be dead or to have left.
	Total int `json:"all"`
	// Reached is the number of nodes in Total that have reached Version.
	Reached int       `json:"have"`
	At      time.Time `json:"at"`
	// Behind names some of the nodes that have not reached Version or did not answer.
	Behind []string `json:"behind,omitempty"`
}

// Tree is the complete configuration tree that a node holds.
type Tree struct {
	Version  cicadaseam.Offset `json:"version"`
	Position cicadaseam.Offset `json:"position"`
	// Digest is the rolling digest of the configuration stream up to Position, in hex.
	Digest  string                 `json:"digest"`
	Objects map[string]tree.Object `json:"objects"`
}

// ErrorResponse is the body of the answer to a request that failed.
type ErrorResponse struct {
	Message string `json:"error"`
}

// StatusError is the error for an answer whose status is not 2xx.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("node answered %d: %s", e.Status, e.Message)
}

// Client is a client of the operator API of one node.
type Client struct {
	base *sling.Sling
}

// New returns a client of the node at a URL. The token is empty if the node has none set.
func New(url, token string) *Client {
	s := sling.New().Client(&http.Client{Transport: http1.CheckedTransport(http.DefaultTransport)}).Base(url)
	if token != "" {
		s = s.Set("Authorization", "Bearer "+token)
	}
	return &Client{base: s}
}

// Publish publishes a change through the node and returns the decision on it.
func (c *Client) Publish(ctx context.Context, change cicadaseam.Change) (cicadaseam.Decision, error) {
	var d cicadaseam.Decision
	err := c.do(ctx, c.base.New().Post("/v1/changes").BodyJSON(change), &d)
	return d, err
}

// Fleet returns the fleet as the node sees it, with the version of each member that
// answers the node.
func (c *Client) Fleet(ctx context.Context) (Fleet, error) {
	var f Fleet
	err := c.do(ctx, c.base.New().Get("/v1/fleet"), &f)
	return f, err
}

type progressQuery struct {
	Version cicadaseam.Offset `url:"version"`
}

// Progress returns how many nodes have reached a version. The node queries only the
// members that are not known to have reached it, so that repeated requests are cheap.
func (c *Client) Progress(ctx context.Context, version cicadaseam.Offset) (Progress, error) {
	var p Progress
	err := c.do(ctx, c.base.New().Get("/v1/progress").QueryStruct(progressQuery{version}), &p)
	return p, err
}

// Tree returns the configuration tree that the node holds.
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

// Config returns the policy settings that apply to a target, each with the scope that sets
// it.
func (c *Client) Config(ctx context.Context, t tree.ScopeTarget) ([]tree.Setting, error) {
	var out []tree.Setting
	q := targetQuery{t.Deployment, t.Zone, t.Service, t.Class}
	err := c.do(ctx, c.base.New().Get("/v1/config").QueryStruct(q), &out)
	return out, err
}

// Burn returns the report on the burn of the error budgets.
func (c *Client) Burn(ctx context.Context) (burn.Report, error) {
	var r burn.Report
	err := c.do(ctx, c.base.New().Get("/v1/burn"), &r)
	return r, err
}

// do sends a request and decodes the answer into out, or into a StatusError.
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
