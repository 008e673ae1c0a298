package method

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// fill sets every field of a struct to something.
func fill(v reflect.Value) {
	for i := range v.NumField() {
		f := v.Field(i)
		switch f.Kind() {
		case reflect.String:
			f.SetString("text")
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Int, reflect.Int64:
			f.SetInt(int64(time.Second) + int64(i))
		case reflect.Uint8, reflect.Uint64:
			f.SetUint(1)
		case reflect.Struct:
			fill(f)
		case reflect.Slice:
			f.Set(reflect.MakeSlice(f.Type(), 1, 1))
		}
	}
}

// Every field of a message travels.
func TestMeshMessagesTravelWhole(t *testing.T) {
	for _, x := range []any{&cicadaseam.MeshCall{}, &cicadaseam.MeshAnswer{}, &cicadaseam.Instance{}} {
		fill(reflect.ValueOf(x).Elem())
		data, err := Encode(x)
		require.NoError(t, err)
		got := reflect.New(reflect.TypeOf(x).Elem()).Interface()
		require.NoError(t, Decode(data, got))
		require.Equal(t, x, got)
	}
}
