package main

import (
	"fmt"
	"os"

	"lacewinghook.example/lacewinghook/config"
)

func check(args []string) int {
	file, status := settingsFlag("check", args)
	if file == "" {
		return status
	}
	if _, err := config.Read(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFail
	}
	fmt.Println("settings are valid")
	return exitOK
}
