// Command standin runs emulators of the systems around the serving layer.
package main

func main() {}
