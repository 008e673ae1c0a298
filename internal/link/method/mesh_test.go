package method

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// setAllFields sets every field of a struct, and of the structs in it, to a non-zero value.
func setAllFields(v reflect.Value) {
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
		case reflect.Pointer:
			f.Set(reflect.New(f.Type().Elem()))
			setAllFields(f.Elem())
		case reflect.Struct:
			setAllFields(f)
		case reflect.Slice:
			f.Set(reflect.MakeSlice(f.Type(), 1, 1))
		}
	}
}

// A field that the encoding leaves out would be zero at the peer without any error.
func TestMeshMessagesRoundTrip(t *testing.T) {
	for _, message := range []any{&cicadaseam.MeshCall{}, &cicadaseam.MeshAnswer{}, &cicadaseam.Instance{}} {
		setAllFields(reflect.ValueOf(message).Elem())
		data, err := Encode(message)
		require.NoError(t, err)
		got := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		require.NoError(t, Decode(data, got))
		require.Equal(t, message, got)
	}
}
