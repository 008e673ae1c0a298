package cli

import (
	"context"
	"fmt"
	"runtime"

	"github.com/cicadaseam/cicadaseam/internal/base/release"
	"github.com/cicadaseam/cicadaseam/internal/call/ledger"
	"github.com/cicadaseam/cicadaseam/internal/config/change"
	"github.com/cicadaseam/cicadaseam/internal/config/snapshot"
	"github.com/cicadaseam/cicadaseam/internal/link/frame"
	"github.com/cicadaseam/cicadaseam/internal/member/announce"
	"github.com/cicadaseam/cicadaseam/internal/member/detect"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
)

// versionCommand prints the commit of the program and the numbers of its formats. Programs with the
// same number read what each other writes.
type versionCommand struct{}

func (*versionCommand) run(_ context.Context, s streams) error {
	commit := release.Commit()
	if commit == "" {
		commit = "unknown"
	}
	_, err := fmt.Fprintf(s.out, "commit     %s\ngo         %s\nlinks      %d\nnode       datagrams %d, announcements %d, changes %d, snapshots %d, ledger %d\nsidecar    datagrams %#x to %#x\n",
		commit, runtime.Version(), frame.ProtocolVersion, detect.Format, announce.Format, change.Format, snapshot.Format, ledger.Format, fleet.FormatFull, fleet.FormatQuery)
	return err
}
