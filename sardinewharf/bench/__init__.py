"""Benchmarks of the router.

Each is started by ``python -m sardinewharf.bench.NAME`` and prints a table.
"""

from sardinewharf.bench.fits import Fit
from sardinewharf.bench.fits import fit_line
from sardinewharf.bench.tables import print_table

__all__ = ["Fit", "fit_line", "print_table"]
