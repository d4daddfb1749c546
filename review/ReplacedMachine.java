package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A machine of the core is lost for good and an empty one takes its place. When that has had its time, another machine
 * loses its disk. The operator then reads back what was acknowledged.
 */
final class ReplacedMachine {
    private static final int ROUTES = 370;
    private static final int CHANGES = 100;
    private static final long GAP_MILLIS = 200;
    private static final long SUCCESSOR_DELAY_MILLIS = 1000;
    private static final long SUCCESSOR_TIME_MILLIS = 4000 + 2 * 3000;
    private static final long DOWN_MILLIS = 1000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long READ_MILLIS = 12_000;

    private ReplacedMachine() {
    }

    static boolean isBroken(Path record, boolean hasTrouble) throws Exception {
        try (Fleet fleet = new Fleet(record, 3)) {
            fleet.platform().add(Behaviours.soundWorker("i-1"));
            fleet.start(Config.withRoutes(1, 14));
            long version = 2;
            for (int i = 0; i < CHANGES; i++, version++) {
                TimeUnit.MILLISECONDS.sleep(GAP_MILLIS);
                acknowledge(fleet, Config.withRoutes(version, ROUTES));
            }
            fleet.note(CHANGES + " changes of " + ROUTES + " routes are acknowledged");
            if (hasTrouble) {
                Fleet.Vm lost = fleet.vms.get(2);
                fleet.kill(lost);
                fleet.note(lost.name + " is lost for good");
                TimeUnit.MILLISECONDS.sleep(SUCCESSOR_DELAY_MILLIS);
                Fleet.Vm successor = fleet.addVm();
                fleet.startControl(successor);
                fleet.startRouter(successor);
            }
            TimeUnit.MILLISECONDS.sleep(SUCCESSOR_TIME_MILLIS);
            acknowledge(fleet, Config.withRoutes(version, ROUTES));
            fleet.note("version " + version + " is acknowledged");
            if (hasTrouble) {
                Fleet.Vm wiped = fleet.vms.get(1);
                fleet.kill(wiped);
                fleet.wipeDisk(wiped);
                TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
                fleet.startControl(wiped);
                fleet.startRouter(wiped);
            }
            TimeUnit.MILLISECONDS.sleep(RECOVERY_MILLIS);
            boolean isRead = isReadBack(fleet, version);
            for (Fleet.Vm vm : fleet.vms) fleet.noteLog(vm, "control", "event=membership");
            return !isRead;
        }
    }

    private static void acknowledge(Fleet fleet, String configuration) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
        int next = 0;
        while (System.nanoTime() < until) {
            if (fleet.publish(fleet.vms.get(next++ % 2), configuration) == 200) return;
            TimeUnit.MILLISECONDS.sleep(200);
        }
        throw new IOException("a change was not acknowledged before the last disruption");
    }

    private static boolean isReadBack(Fleet fleet, long version) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_MILLIS);
        int asked = 0;
        while (System.nanoTime() < until) {
            for (Fleet.Vm vm : fleet.vms) {
                if (!vm.control.isAlive()) continue;
                asked++;
                long read = fleet.readVersion(vm);
                if (read > 0) fleet.note("read at " + vm.name + ": version " + read);
                if (read >= version) return true;
            }
            TimeUnit.MILLISECONDS.sleep(500);
        }
        fleet.note(asked + " reads, none returned version " + version);
        return false;
    }
}
