package cicadaseam_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

func TestUnknownStatesAreErrors(t *testing.T) {
	var m cicadaseam.Member
	require.NoError(t, json.Unmarshal([]byte(`{"state":"suspect","backend":{"state":"draining"}}`), &m))
	require.Equal(t, cicadaseam.MemberSuspect, m.State)
	require.Equal(t, cicadaseam.BackendDraining, m.Backend.State)
	for _, text := range []string{`{"state":"asleep"}`, `{"state":""}`, `{"backend":{"state":"busy"}}`} {
		var unknown *cicadaseam.StateError
		require.ErrorAs(t, json.Unmarshal([]byte(text), &m), &unknown, text)
	}
}
