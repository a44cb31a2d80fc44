"""Settings that take hold at every gateway or at none.

Rules free of I/O: `policy` (what of the settings is agreed, its canonical form, the meet, the comparison), `ballots`
(numbers and generations), `member` (one gateway), `leader` (one control process). Carriers: `seal` (who says it),
`store` and `journal` (what outlives a crash), `agent` (at the gateway), `control` (the process staff talk to), `words`
(the command line's end).
"""
