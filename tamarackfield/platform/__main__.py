"""Starts a program: holds signals first, and imports modules with garbage collection disabled, as they stay in use."""

import gc
import importlib

from tamarackfield.process_signals import PROCESS_SIGNALS

if __name__ == '__main__':
    PROCESS_SIGNALS.hold()
    gc.disable()
    importlib.import_module('tamarackfield.platform.main').main()
