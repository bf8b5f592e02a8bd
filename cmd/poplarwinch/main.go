// Command poplarwinch runs an entry instance and its operator commands.
package main

func main() {}
