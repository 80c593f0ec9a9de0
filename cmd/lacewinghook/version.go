package main

import (
	"fmt"
	"runtime/debug"
)

func version([]string) int {
	v := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		v = info.Main.Version + " " + info.GoVersion
	}
	fmt.Println("lacewinghook", v)
	return exitOK
}
