"""Starts the project's programs with the commands and templates of the deploy file."""

import os
import re
import signal
import socket
import subprocess
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def render(template, fields):
    """The part of the template language that the deploy files use: values and sections."""

    def section(match):
        return match.group(2) if fields.get(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(fields.get(m.group(1), "")), text)


def free_port(addresses):
    """A port that is free for TCP and UDP at all addresses."""
    for port in range(20000 + os.getpid() % 5000, 32000):
        sockets = []
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sockets.append(socket.socket(socket.AF_INET, kind))
                    sockets[-1].bind((address, port))
            return port
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise OSError("no free port")


class Program:
    """One process of a role, which can be killed and started again."""

    def __init__(self, role, fields, folder):
        with open(f"{ROOT}/deploy/system.toml", "rb") as file:
            self.deploy = tomllib.load(file)["roles"][role]
        with open(f"{ROOT}/{self.deploy['template']}", encoding="utf-8") as file:
            template = file.read()
        self.name = fields["node"]
        self.settings = f"{folder}/{self.name}.ini"
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, fields))
        self.log = open(f"{folder}/{self.name}.log", "ab")
        self.process = None

    def start(self):
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PAPAYAPROXY_SETTINGS": self.settings,
        }
        self.process = subprocess.Popen(
            self.deploy["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.process:
            self.process.wait()


def common_fields(node, ip, zone):
    """Fields of the settings that all machines of the small deployment have."""
    return {
        "node": node,
        "ip": ip,
        "zone": zone,
        "bootstrap": True,
        "bounds.drainMs": 2000,
        "bounds.gracePeriodS": 8,
        "bounds.revokeMs": 5000,
        "bounds.retryBudgetRatio": 0.2,
        "bounds.budgetWindowS": 10,
        "bounds.budgetSlack": 92,
        "bounds.passMs": 120,
    }
