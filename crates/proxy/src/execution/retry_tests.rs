use tanager_core::ServiceId;

use crate::execution::retry::RetryBudget;

/// Guards against retries that multiply the load of failing targets, and against one service
/// using up the retries of another.
#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    let budget = RetryBudget::default();
    let (failing, other) = (ServiceId::new(1), ServiceId::new(2));

    let retries = (0..2_000).filter(|_| {
        budget.deposit(failing);
        budget.try_withdraw(failing)
    });
    let retries = retries.count();

    // 10% of 2,000 requests and the initial 50.
    assert!(retries <= 250, "{retries} retries");
    assert!(budget.try_withdraw(other));
}

/// Guards against memory that grows with every service number that a caller makes up.
#[test]
fn requests_of_services_that_never_retried_take_no_memory() {
    let budget = RetryBudget::default();

    for number in 0..1_000 {
        budget.deposit(ServiceId::new(number));
    }

    assert_eq!(budget.services.lock().expect("lock").len(), 0);
}
