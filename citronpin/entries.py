"""An entry: the one kind of node, with all its tasks wired together."""

import logging
import signal

import numpy
from circuits import Component, handler

from citronpin.admins import AdminPages
from citronpin.callers import CallerApi
from citronpin.chats import ChatFilter
from citronpin.clients import HttpClient
from citronpin.clocks import Clock, ClockTask
from citronpin.configurations import Configuration
from citronpin.controls import ControlTask
from citronpin.directories import GroupDirectory
from citronpin.events import EventKind, Recorder
from citronpin.filters import FilterChain, GateFilter, IdentifyFilter
from citronpin.followers import Followers
from citronpin.gates import ServingGate
from citronpin.generations import AdmitFilter, GenerateFilter
from citronpin.http_engines import HttpEngineClient
from citronpin.http_logs import HttpLog
from citronpin.ids import CONFIG_STREAM, EntryId, new_id
from citronpin.metrics import Metrics
from citronpin.server_pools import ServerPool
from citronpin.servers import Routes, ServerLimits, WebServer
from citronpin.settings import Settings, split_address

logger = logging.getLogger(__name__)
