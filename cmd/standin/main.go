// Command standin runs the stand-ins of what the gateway serves and reads.
package main

import (
	"context"
	"os"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/stand"
)

var version = "dev"

func main() {
	os.Exit(stand.Main(context.Background(), common.NewFactory(version), os.Args))
}
