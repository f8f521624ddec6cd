// Command hyssopspindle runs a host of the gateway and the tools to operate it.
package main

import (
	"context"
	"os"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/root"
)

var version = "dev"

func main() {
	os.Exit(root.Main(context.Background(), common.NewFactory(version), os.Args))
}
