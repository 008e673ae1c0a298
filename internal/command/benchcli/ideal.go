package benchcli

import (
	"fmt"
	"io"

	"github.com/cicadaseam/cicadaseam/internal/bench/ideal"
	"github.com/cicadaseam/cicadaseam/internal/command/args"
)

// printIdeal prints which part of each kind of request of a load could be served on time, and
// returns the exit code.
func printIdeal(file string, out, errOut io.Writer) int {
	load, err := ideal.Read(file)
	if err != nil {
		fmt.Fprintf(errOut, "cicadabench: %v\n", err)
		return args.Failed
	}
	most, alike := ideal.Run(load, ideal.Most), ideal.Run(load, ideal.Alike)
	fmt.Fprintf(out, "%-20s %10s %14s %14s\n", "kind", "requests", "most on time", "alike on time")
	var total [2]ideal.Result
	for i := range most {
		printShare(out, most[i], alike[i])
		for j, r := range []ideal.Result{most[i], alike[i]} {
			total[j].Kind = "all"
			total[j].Asked += r.Asked
			total[j].OnTime += r.OnTime
		}
	}
	printShare(out, total[0], total[1])
	return args.Done
}

func printShare(out io.Writer, most, alike ideal.Result) {
	fmt.Fprintf(out, "%-20s %10.0f %13.1f%% %13.1f%%\n", most.Kind, most.Asked, 100*most.Share(), 100*alike.Share())
}
