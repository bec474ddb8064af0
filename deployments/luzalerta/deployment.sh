# Read by scripts/demo.
title="Luzalerta"
# Taken out of use in the middle of the run and brought back.
data_centre="pt-norte-b"
